/** An object of the store that another writer left there, with its `spec` as JSON text. */
export interface OddObject {
  readonly kind: string;
  readonly name: string;
  readonly text: string;
}

/** Deeper than what can be encoded as JSON without an overflow of the stack. */
const depth = 100_000;
const nested = "[".repeat(depth) + "]".repeat(depth);
const tooLarge = "1e999";

/** Lists objects that are valid JSON and can't be used, beside those of the targets and the nodes. */
export function listOddObjects(service: string): readonly OddObject[] {
  const address = (port: number) => `"address":{"host":"127.0.0.1","port":${port}}`;
  const target = `"service":"${service}","zone":"a","version":"v1","state":"ready","db-role":"primary"`;
  return [
    { kind: "radishwalk-proxies", name: "stray-deep", text: `{${address(9)},"power":${nested}}` },
    { kind: "radishwalk-proxies", name: "stray-port", text: `{${address(99_999)}}` },
    { kind: "radishwalk-targets", name: "stray", text: `{"targets":[null,${nested}]}` },
    { kind: "servers", name: "stray-null", text: "null" },
    {
      kind: "servers",
      name: "stray-large",
      text: `{${target},"address":"127.0.0.1:99999","capacity":${tooLarge},"meta":${nested}}`,
    },
  ];
}

/** A configuration that can't be decoded. */
export const malformedConfiguration = `{"version":${tooLarge},"routes":[null],"services":${nested}}`;
