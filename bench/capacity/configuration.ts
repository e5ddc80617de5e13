import {
  applyConfigurationEvent,
  buildDelta,
  decodeMessage,
  decodeStored,
  isRelay,
  listChildren,
  mergeDrafts,
  type ConfigurationState,
  type ConfigurationUpdate,
} from "../../src/controller/configuration/index.js";
import type { Configuration, Json } from "../../src/model/index.js";
import { renderConfigurationFile, loadConfigurationFile } from "../../src/settings/index.js";
import { buildConfiguration, buildVms } from "./build.js";
import { countBytes, measureHeap, measureMicros, type Sample } from "./measure.js";

/** Measures one change by the number of teams. */
export function measureConfiguration(sizes: readonly number[]): readonly Sample[] {
  return sizes.flatMap((size) => {
    const before = buildConfiguration(size, 1);
    const after = changeOneTeam(before);
    const delta: ConfigurationUpdate = { type: "delta", delta: buildDelta(before, after) };
    const json = toJson({ from: "vm-00001", update: delta });
    const whole = toJson({ from: "vm-00001", update: { type: "whole", configuration: after } });
    const stored = toJson({ ...after, changes: [after.changeId] });
    const state: ConfigurationState = { inForce: before, isKnown: true };
    const adopt = () =>
      applyConfigurationEvent(state, { type: "offered", update: delta, source: "peer" });
    const sample = (what: string, value: number, unit: string): Sample => ({
      role: "configuration",
      what,
      size,
      value,
      unit,
    });
    return [
      sample(
        "state",
        measureHeap(() => buildConfiguration(size, 1)),
        "bytes",
      ),
      sample("whole message", countBytes(whole), "bytes of JSON"),
      sample("delta message", countBytes(json), "bytes of JSON"),
      sample(
        "decode a delta",
        measureMicros(() => decodeMessage(json)),
        "µs",
      ),
      sample("adopt a delta and make the next", measureMicros(adopt), "µs"),
      sample(
        "relay: decode the store's value",
        measureMicros(() => decodeStored(stored)),
        "µs",
      ),
      sample("command: read the file", measureMicros(makeLoad(after)), "µs"),
      sample(
        "command: merge",
        measureMicros(() => mergeDrafts(before, after, before)),
        "µs",
      ),
    ];
  });
}

/** Measures the trees by the number of VMs. */
export function measureTrees(sizes: readonly number[]): readonly Sample[] {
  return sizes.flatMap((size) => {
    const vms = buildVms(size);
    const self = vms[0]?.name ?? "";
    const children = vms.map((vm) => listChildren(vm.name, vms).length);
    const sample = (what: string, value: number, unit: string): Sample => ({
      role: "relay",
      what,
      size,
      value,
      unit,
    });
    return [
      sample(
        "am I a relay",
        measureMicros(() => isRelay(self, vms)),
        "µs",
      ),
      sample(
        "my children",
        measureMicros(() => listChildren(self, vms)),
        "µs",
      ),
      sample("relays", vms.filter((vm) => isRelay(vm.name, vms)).length, "VMs"),
      sample("most children", Math.max(...children), "VMs"),
      sample(
        "pushes for a change",
        children.reduce((a, b) => a + b, 0),
        "messages",
      ),
    ];
  });
}

function changeOneTeam(before: Configuration): Configuration {
  const [first, ...rest] = before.teams;
  if (first === undefined) return before;
  return { ...before, revision: 2, teams: [{ ...first, plan: "trial" }, ...rest] };
}

function makeLoad(configuration: Configuration): () => void {
  const text = renderConfigurationFile(configuration);
  return () => {
    loadConfigurationFile(text, "rules.yaml");
  };
}

function toJson(value: unknown): Json {
  return JSON.parse(JSON.stringify(value)) as Json;
}
