import { expect, test } from "@jest/globals";
import { sendHttpCall } from "../../src/platform/call.js";
import type { HttpPool } from "../../src/platform/pool.js";

// The store is unreachable, and the pool ignores the abort signal while it connects. A request that then
// outlasts its timeout blocks its caller: a proxy that waited 7 s for the store in this way did not ask
// its peers for the leadership, which they would have confirmed, and refused every statement that needs
// a primary.
test("a request ends within its timeout although the pool never answers", async () => {
  const pool = { request: () => new Promise(() => undefined) } as unknown as HttpPool;
  const call = { method: "GET", path: "/objects/a", timeoutMs: 30 } as const;
  expect(await sendHttpCall(pool, call)).toEqual({ type: "lost", reason: "no answer in time" });
});

// A path that breaks under an established connection gives these errors too, after the request was sent: a write that
// may have taken effect was reported as not sent.
test.each(["EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED"])(
  "a request that fails with %s after it was sent counts as lost",
  async (code) => {
    const failure = Object.assign(new Error(code), { code, syscall: "read" });
    const pool = { request: () => Promise.reject(failure) } as unknown as HttpPool;
    const call = { method: "PUT", path: "/objects/a", body: "{}", timeoutMs: 30 } as const;
    expect((await sendHttpCall(pool, call)).type).toBe("lost");
  },
);
