export {
  type CertificateFiles,
  CertificateStore,
  type CertificateStoreOptions,
  peerServerName,
} from "./store.js";
