export { HttpObjectStore, type HttpObjectStoreOptions } from "./store.js";
