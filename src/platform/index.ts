export {
  StoreClient,
  type StoreClientOptions,
  type StoreDialect,
  type StoreListing,
  type StorePage,
} from "./client.js";
export { HttpObjectStore, type HttpObjectStoreOptions } from "./store.js";
