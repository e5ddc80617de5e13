// In the bundle: only the pool of undici and its `request`. The index loads fetch, web sockets and
// caches as well, a megabyte of code that each node would hold in memory.
const Dispatcher = require("../../node_modules/undici/lib/dispatcher/dispatcher.js");
const request = require("../../node_modules/undici/lib/api/api-request.js");

Dispatcher.prototype.request = request;

module.exports = { Pool: require("../../node_modules/undici/lib/dispatcher/pool.js") };
