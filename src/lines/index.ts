export {
  LinkError,
  type LinkOptions,
  openLink,
  type ReplyReader,
  type TargetCodec,
} from "./link.js";
export {
  type LineConnection,
  type LineHandler,
  LineServer,
  type LineServerOptions,
} from "./server.js";
export { type LineEvent, LineSplitter } from "./splitter.js";
