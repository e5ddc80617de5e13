export { parseReport, proxyReport, type ProxyReport } from "./report.js";
