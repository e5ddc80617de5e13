// In the bundle: only the pool of undici. Its index loads fetch, web sockets and caches as well,
// a megabyte of code that each node would hold in memory.
module.exports = { Pool: require("../../node_modules/undici/lib/dispatcher/pool.js") };
