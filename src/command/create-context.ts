import { randomUUID } from "node:crypto";
import { readFile, writeFile } from "node:fs/promises";
import type { Address, Disposable, ObjectStore } from "../model/index.js";
import { HttpObjectStore } from "../platform/index.js";
import { parseAddress } from "../settings/index.js";
import { createSystemClock, createSystemRandom } from "../system/index.js";
import type { CommandContext, Flags } from "./context.js";
import { UsageError } from "./errors.js";
import { createProxyHttpClient } from "./proxy-client.js";

/** The difference between the health port and the peer port in the example settings. */
export const defaultHealthPortOffset = 2000;

const platformVariable = "RADISHWALK_PLATFORM";

/** Creates the context of a command that runs on this machine. */
export function createContext(flags: Flags): CommandContext & Disposable {
  const lazyStore = createLazyStore(flags.platform ?? process.env[platformVariable]);
  return {
    store: lazyStore.store,
    proxies: createProxyHttpClient(),
    givenProxies: [flags.proxy ?? []].flat().map(parseProxyAddress),
    healthPortOffset: flags.healthOffset ?? defaultHealthPortOffset,
    clock: createSystemClock(),
    random: createSystemRandom(),
    json: flags.json === true,
    readFile: (path) => readFile(path, "utf8"),
    writeFile: (path, text) => writeFile(path, text),
    createChangeId: randomUUID,
    print: (text) => {
      console.log(text);
    },
    dispose: lazyStore.dispose,
  };
}

/** Opens the store on its first use, because `check` and `status --proxy` don't need it. */
function createLazyStore(url: string | undefined): {
  readonly store: ObjectStore;
  readonly dispose: () => void | Promise<void>;
} {
  let client: HttpObjectStore | undefined;
  const open = (): HttpObjectStore => {
    if (url === undefined) {
      throw new UsageError(`--platform http://IP:PORT or ${platformVariable} is required`);
    }
    client ??= new HttpObjectStore({ url });
    return client;
  };
  const store: ObjectStore = {
    get: async (kind, name) => open().get(kind, name),
    list: async (kind) => open().list(kind),
    put: async (kind, name, value, version) => open().put(kind, name, value, version),
    remove: async (kind, name, version) => open().remove(kind, name, version),
    watch: async (kind, after, handle, signal) => open().watch(kind, after, handle, signal),
    listVms: async () => open().listVms(),
    listGroups: async () => open().listGroups(),
  };
  return {
    store,
    dispose: () => client?.dispose(),
  };
}

function parseProxyAddress(text: string): Address {
  const address = parseAddress(text);
  if (address === undefined) throw new UsageError(`--proxy must be IP:PORT, not ${text}`);
  return address;
}
