import { expect, test } from "@jest/globals";
import { sendHttpCall } from "../../src/platform/call.js";
import type { HttpPool } from "../../src/platform/pool.js";

// The store is cut off and the pool tries to connect; it looks at no signal until then. The caller of
// a call that never ends would stand still: a proxy looked at nothing for 7 s, though its peers would
// have confirmed who leads, and refused every statement that needs a primary.
test("a call ends in time though the pool never answers", async () => {
  const pool = { request: () => new Promise(() => undefined) } as unknown as HttpPool;
  const call = { method: "GET", path: "/objects/a", timeoutMs: 30 } as const;
  expect(await sendHttpCall(pool, call)).toEqual({ type: "lost", reason: "no answer in time" });
});
