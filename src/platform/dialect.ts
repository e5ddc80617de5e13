import type { Json } from "../model/index.js";
import type { StoreDialect } from "./client.js";
import { objectListSchema, storedObjectSchema } from "./schemas.js";

/** The dialect of the stand-in platform in `standin/`. */
export const standinDialect: StoreDialect = {
  get: (kind, name) => ({ method: "GET", path: makePath(kind, name) }),
  list: (kind) => ({ method: "GET", path: makePath(kind) }),
  put: (kind, name, value: Json, version) => ({
    method: "PUT",
    path: `${makePath(kind, name)}?version=${version}`,
    body: JSON.stringify(value),
  }),
  remove: (kind, name, version) => ({
    method: "DELETE",
    path: `${makePath(kind, name)}?version=${version}`,
  }),
  decodeObject: (_kind, body) => storedObjectSchema.safeParse(body).data,
  decodePage: (_kind, body) => {
    const list = objectListSchema.safeParse(body).data;
    if (list === undefined) return undefined;
    const revision = list.objects.reduce((highest, { version }) => Math.max(highest, version), 0);
    return { objects: list.objects, revision };
  },
  isWriteRejected: () => false,
};

function makePath(...parts: readonly string[]): string {
  return `/objects/${parts.map(encodeURIComponent).join("/")}`;
}
