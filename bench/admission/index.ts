export { type FloodFigures, type StreamFigures, measureFloods } from "./floods.js";
export { type SlopeFigures, measureSlopes } from "./slopes.js";
export { renderFloods, renderSlopes, renderTable } from "./table.js";
