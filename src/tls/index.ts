export {
  type CertificateFiles,
  CertificateStore,
  type CertificateStoreOptions,
  peerServerName,
} from "./certificate-store.js";
