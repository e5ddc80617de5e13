import { expect, test } from "@jest/globals";
import { encodeProxy } from "../../platform/proxies.js";
import { deregister, proxiesKind, type EntryStore } from "../../platform/registrations.js";
import type { StoredObject } from "../../src/model/index.js";
import { makeProxy } from "../gateway/builders.js";

const proxy = makeProxy(1);

/** A store with the entry of one proxy that carries removals out only when it is told to. */
class LateStore implements EntryStore {
  object: StoredObject | undefined;
  private lateRemoval: number | undefined;

  constructor() {
    this.object = { kind: proxiesKind, name: proxy.vm, version: 7, value: encodeProxy(proxy) };
  }

  get: EntryStore["get"] = () =>
    Promise.resolve(
      this.object === undefined ? { type: "absent" } : { type: "found", value: this.object },
    );

  put: EntryStore["put"] = (kind, name, value, version) => {
    if (this.object?.version !== version) return Promise.resolve({ type: "conflict" });
    this.object = { kind, name, value, version: version + 1 };
    return Promise.resolve({ type: "written", object: this.object });
  };

  remove: EntryStore["remove"] = (_kind, _name, version) => {
    this.lateRemoval = version;
    return Promise.resolve({ type: "unknown", reason: "no answer in time" });
  };

  carryOutRemoval(): void {
    if (this.object?.version === this.lateRemoval) this.object = undefined;
  }
}

// The next process on the machine took the entry for its own; then it was removed, and no change waited for it.
test("a removal without an answer does not remove the entry of the next process", async () => {
  const store = new LateStore();
  expect(await deregister(store, proxy)).toBe(false);
  store.carryOutRemoval();
  expect(store.object?.value).toEqual(encodeProxy({ ...proxy, isMissed: true }));
});

test("a removal that took effect without an answer is recognised", async () => {
  const store = new LateStore();
  const remove = store.remove;
  store.remove = async (...removed) => {
    const result = await remove(...removed);
    store.carryOutRemoval();
    return result;
  };
  expect(await deregister(store, proxy)).toBe(true);
  expect(store.object).toBeUndefined();
});
