import type { Logger } from "../log/index.js";
import type { Metrics } from "../metric/index.js";
import type { Disposable, ObjectStore } from "../model/index.js";
import { HttpObjectStore } from "../platform/index.js";
import type { ProxySettings } from "../settings/index.js";

/** Opens the platform's store at the first address in the settings. Throws if they hold none. */
export function openStore(settings: ProxySettings, logger: Logger): HttpObjectStore {
  const [platform] = settings.platform;
  if (platform === undefined) throw new Error("the settings hold no address of the platform");
  return new HttpObjectStore({
    url: `http://${platform.host}:${platform.port}`,
    timeoutMs: settings.deadlines.storeMs,
    logger,
  });
}

/** Wraps a store so that its calls, except watches, are counted by operation and outcome. */
export function countStoreCalls(
  store: HttpObjectStore,
  metrics: Metrics,
): ObjectStore & Disposable {
  const count = async <T extends { readonly type: string }>(
    operation: string,
    call: Promise<T>,
  ): Promise<T> => {
    const result = await call;
    metrics.recordStoreCall(operation, result.type);
    return result;
  };
  return {
    get: (kind, name) => count("get", store.get(kind, name)),
    list: (kind) => count("list", store.list(kind)),
    put: (kind, name, value, version) => count("put", store.put(kind, name, value, version)),
    remove: (kind, name, version) => count("remove", store.remove(kind, name, version)),
    watch: (kind, after, handle, signal) => store.watch(kind, after, handle, signal),
    listVms: () => count("listVms", store.listVms()),
    listGroups: () => count("listGroups", store.listGroups()),
    dispose: () => store.dispose(),
  };
}
