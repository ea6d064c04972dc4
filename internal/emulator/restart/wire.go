package restart

// zoneField is the field of a submitted job that is null for any zone.
const zoneField = "eyrie"
