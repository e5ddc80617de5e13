export { type RoutingFigures, measureRouting, renderRouting } from "./figures.js";
