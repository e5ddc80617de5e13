import { expect, test } from "@jest/globals";
import { sendCall } from "../../src/platform/call.js";
import type { CallPool } from "../../src/platform/pool.js";

// The store is cut off and the pool tries to connect; it looks at no signal until then. The caller of
// a call that never ends would stand still: a proxy looked at nothing for 7 s, though its peers would
// have confirmed who leads, and refused every statement that needs a primary.
test("a call ends in time though the pool never answers", async () => {
  const pool = { request: () => new Promise(() => undefined) } as unknown as CallPool;
  const call = { method: "GET", path: "/objects/a", timeoutMs: 30 } as const;
  expect(await sendCall(pool, call)).toEqual({ type: "lost", reason: "no answer in time" });
});
