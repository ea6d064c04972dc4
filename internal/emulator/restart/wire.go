package restart

// zoneField is the JSON field of a submitted job that is null if the job may run in any zone.
const zoneField = "eyrie"
