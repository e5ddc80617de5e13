import { readFileSync } from "node:fs";
import { expect, test } from "@jest/globals";
import { parse } from "yaml";
import { formatFault, loadProxySettings } from "../../src/settings/index.js";

const good = `vm: palermo-1
dataCentre: palermo
listen: { callers: "0.0.0.0:6432", peers: "10.0.1.11:7432", health: "[::1]:9432" }
platform: ["10.0.0.1:8080"]
tls: { callers: off, peers: { certificate: a.pem, key: b.pem, authority: c.pem } }
sessionKeys: [{ id: k1, secret: "0123456789abcdef0123456789abcdef" }]
limits: { message: 64KiB, idle: 1.5s }
`;

const loadFaults = (text: string) => {
  const loaded = loadProxySettings(text, "p.yaml");
  return loaded.type === "faulty" ? loaded.faults.map(formatFault) : [];
};

test("settings are read with their defaults, in milliseconds and bytes", () => {
  const loaded = loadProxySettings(good, "p.yaml");
  if (loaded.type === "faulty") throw new Error(loaded.faults.map(formatFault).join("\n"));
  expect(loaded.value.listen.health).toEqual({ host: "::1", port: 9432 });
  expect(loaded.value.tls.callers).toEqual({ type: "off" });
  expect(loaded.value.limits).toMatchObject({ messageBytes: 65536, idleMs: 1500, startUpMs: 5000 });
  expect(loaded.value.drain).toEqual({ announceMs: 3000, limitMs: 60000 });
});

test("all faults are reported together, each with its line, column and path", () => {
  const text = good
    .replace("vm: palermo-1\n", "")
    .replace("health:", "helth:")
    .replace("64KiB", "64")
    .replace("1.5s", "2d")
    .replace("key: b.pem, ", "");
  expect(loadFaults(text)).toEqual([
    "p.yaml:1:1: vm: is missing",
    "p.yaml:2:9: listen.health: is missing",
    "p.yaml:2:61: listen.helth: unknown key helth; did you mean health?",
    "p.yaml:4:29: tls.peers.key: is missing",
    "p.yaml:6:20: limits.message: must be a size from 1KiB to 64MiB, such as 64KiB or 16MiB",
    "p.yaml:6:30: limits.idle: must be a duration from 1s to 24h, such as 500ms, 5s or 10m; not 2d",
  ]);
});

test("TLS is off only if the file says so explicitly", () => {
  expect(loadFaults(good.replace("callers: off, ", ""))).toEqual([
    "p.yaml:5:6: tls.callers: is missing",
  ]);
});

test("a host name is refused: addresses are IP addresses", () => {
  expect(loadFaults(good.replace("10.0.0.1:8080", "platform.example:8080"))[0]).toContain(
    "p.yaml:4:12: platform[0]: must be an IP address",
  );
});

test("a YAML syntax error is reported with its line", () => {
  expect(loadFaults("vm: a\nvm: b\n")[0]).toMatch(/^p\.yaml:2:1: Map keys must be unique/);
});

test.each(["ferrante-palermo-1.yaml", "cluj-centru-1.yaml"])("example %s is valid", (name) => {
  const loaded = loadProxySettings(readFileSync(`config/${name}`, "utf8"), name);
  expect(loaded).toMatchObject({ type: "loaded", warnings: [] });
});

test("docs/SETTINGS.md documents every key of the example settings", () => {
  const page = readFileSync("docs/SETTINGS.md", "utf8");
  const example = parse(readFileSync("config/ferrante-palermo-1.yaml", "utf8")) as object;
  const keys = Object.entries(example).flatMap(([name, value]: [string, unknown]) =>
    typeof value === "object" && !Array.isArray(value)
      ? Object.keys(value ?? {}).map((key) => `${name}.${key}`)
      : [name],
  );
  expect(keys.filter((key) => !page.includes(`| \`${key}\` `))).toEqual([]);
});
