import { SqlError } from "./error.js";

/** A client message that the stand-in supports. */
export type FrontendMessage =
  | { readonly type: "query"; readonly text: string }
  | {
      readonly type: "parse";
      readonly name: string;
      readonly text: string;
      readonly oids: readonly number[];
    }
  | {
      readonly type: "bind";
      readonly portal: string;
      readonly name: string;
      readonly parameters: readonly (string | null)[];
    }
  | { readonly type: "describe"; readonly what: "statement" | "portal"; readonly name: string }
  | { readonly type: "execute"; readonly portal: string; readonly limit: number }
  | { readonly type: "close"; readonly what: "statement" | "portal"; readonly name: string }
  | { readonly type: "sync" }
  | { readonly type: "flush" }
  | { readonly type: "terminate" };

class Reader {
  constructor(
    private readonly data: Buffer,
    private offset: number,
  ) {}

  readText(): string {
    const end = this.data.indexOf(0, this.offset);
    const text = this.data.toString("utf8", this.offset, end);
    this.offset = end + 1;
    return text;
  }

  readInt16(): number {
    this.offset += 2;
    return this.data.readInt16BE(this.offset - 2);
  }

  readInt32(): number {
    this.offset += 4;
    return this.data.readInt32BE(this.offset - 4);
  }

  readBytes(length: number): string {
    this.offset += length;
    return this.data.toString("utf8", this.offset - length, this.offset);
  }

  readList<T>(read: () => T): readonly T[] {
    const count = this.readInt16();
    return Array.from({ length: count }, read);
  }
}

const headerBytes = 5;

/** Decodes one complete message, including its type byte and length. */
export function decodeFrontend(data: Buffer): FrontendMessage {
  const reader = new Reader(data, headerBytes);
  const code = String.fromCharCode(data[0] ?? 0);
  switch (code) {
    case "Q":
      return { type: "query", text: reader.readText() };
    case "P": {
      const name = reader.readText();
      const text = reader.readText();
      return { type: "parse", name, text, oids: reader.readList(() => reader.readInt32()) };
    }
    case "B":
      return decodeBind(reader);
    case "D":
    case "C": {
      const what = reader.readBytes(1) === "S" ? "statement" : "portal";
      return { type: code === "D" ? "describe" : "close", what, name: reader.readText() };
    }
    case "E":
      return { type: "execute", portal: reader.readText(), limit: reader.readInt32() };
    case "S":
      return { type: "sync" };
    case "H":
      return { type: "flush" };
    case "X":
      return { type: "terminate" };
    default:
      throw new SqlError("08P01", `the stand-in does not support messages of type "${code}"`);
  }
}

function decodeBind(reader: Reader): FrontendMessage {
  const portal = reader.readText();
  const name = reader.readText();
  const formats = reader.readList(() => reader.readInt16());
  const parameters = reader.readList(() => {
    const length = reader.readInt32();
    return length < 0 ? null : reader.readBytes(length);
  });
  const results = reader.readList(() => reader.readInt16());
  if ([...formats, ...results].includes(1)) {
    throw new SqlError("0A000", "the stand-in supports only the text format");
  }
  return { type: "bind", portal, name, parameters };
}
