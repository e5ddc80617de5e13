import { afterEach, expect, test } from "@jest/globals";
import { Topology } from "../../src/topology/index.js";
import { Cluster, waitUntil, type Client } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

const topology = new Topology(
  new Map([
    ["a", "east"],
    ["b", "west"],
  ]),
);
const readers = 12;

/** Starts more nodes than a small fleet has, half of them in the region of the primary and half in the replica's. */
async function start(): Promise<void> {
  cluster = await Cluster.start({
    targets: 2,
    nodes: 14,
    gateways: true,
    connections: 25,
    workMs: 5,
    dataCentres: ["a", "b"],
    topology,
  });
  await waitUntil(() => cluster.isListed());
}

/** The nodes of a data centre. */
const listNodes = (dataCentre: string) =>
  cluster.settings.flatMap((settings, i) => (settings.dataCentre === dataCentre ? [i] : []));

/** Counts the reads that a target has run. */
const countRuns = (target: number) =>
  cluster.target(target).runs.filter(({ text }) => text.startsWith("READ")).length;

const findDataCentre = (vm: unknown) =>
  cluster.settings.find((settings) => settings.vm === vm)?.dataCentre;

/** The data centres of the gateways that ran the statements, in the order of the answers. */
const listAnswers = () =>
  cluster.lines
    .filter(({ event }) => event.name === "statementAnswered")
    .map(({ vm, fields }) => findDataCentre(fields.gateway ?? vm));

const listRedirects = () =>
  cluster.lines.filter(({ event }) => event.name === "statementRedirected");

/** Lets each client read the item that only it writes. */
const readAll = (clients: readonly Client[]) =>
  Promise.all(clients.map((client, i) => client.query(`READ item-${i}`)));

const writeAll = (clients: readonly Client[], value: string) =>
  Promise.all(clients.map((client, i) => client.query(`WRITE item-${i} ${value}`)));

// The replica of the second region stands still. Reads there that waited for the near gateway's few slots at the
// primary could be refused, and older values would break the sessions' guarantee.
test("while the replica of a region lags, reads there are redirected to the primary's gateway", async () => {
  await start();
  const nodes = listNodes("b");
  const clients = await Promise.all(
    Array.from({ length: readers }, (_, i) => cluster.open("own", nodes[i % nodes.length])),
  );
  await writeAll(clients, "first");
  await waitUntil(async () => {
    await readAll(clients);
    return countRuns(1) > 0;
  });
  cluster.log.isCopying = false;
  for (let round = 0; round < 5; round += 1) {
    await writeAll(clients, `v${round}`);
    const before = { primary: countRuns(0), replica: countRuns(1), answers: listAnswers().length };
    const answers = await readAll(clients);
    expect(answers.every((answer) => answer.startsWith(`DATAROW v${round}\n`))).toBe(true);
    expect(countRuns(0) - before.primary).toBe(readers);
    expect(countRuns(1)).toBe(before.replica);
    // A few reads may learn the end of the primary's log from the near gateway.
    const ranAt = listAnswers().slice(before.answers);
    expect(ranAt.filter((dataCentre) => dataCentre === "a").length).toBeGreaterThan(readers / 2);
  }
  const redirectors = listRedirects().map(({ vm }) => findDataCentre(vm));
  expect(new Set(redirectors)).toEqual(new Set(["b"]));
  cluster.log.copy();
  cluster.log.isCopying = true;
  const before = countRuns(1);
  await waitUntil(async () => {
    await readAll(clients);
    return countRuns(1) >= before + readers;
  });
}, 60_000);
