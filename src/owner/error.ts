const lengthBytes = 4;

/** Builds a PostgreSQL `ErrorResponse`. */
export function buildErrorResponse(sqlState: string, message: string): Uint8Array {
  const fields = [`SERROR`, `VERROR`, `C${sqlState}`, `M${message}`];
  const body = Buffer.from(`${fields.join("\0")}\0\0`, "utf8");
  const header = Buffer.alloc(1 + lengthBytes);
  header.write("E", 0, "latin1");
  header.writeInt32BE(lengthBytes + body.length, 1);
  return Buffer.concat([header, body]);
}
