import { Backends } from "./backends.js";
import type { BackendAnswer, BackendRequest } from "./commands.js";
import { LoopDelayMonitor } from "./loop-delays.js";

/*
 * The process with the store and the targets. It is driven by the messages of the process that started it,
 * and ends with it.
 */

let backends: Backends | undefined;
const delays = new LoopDelayMonitor();

process.on("message", (request: BackendRequest) => void handle(request));
process.on("disconnect", () => process.exit(0));

async function handle(request: BackendRequest): Promise<void> {
  switch (request.type) {
    case "start":
      backends = new Backends(request.site);
      send({ type: "started", stores: await backends.start(request.nodes) });
      return;
    case "openRelays":
      send({ type: "relays", detours: (await backends?.openRelays(request.addresses)) ?? {} });
      return;
    case "apply":
      await backends?.apply(request.command);
      return;
    case "describe":
      send({
        type: "described",
        targets: backends?.listTargets() ?? [],
        lastWriter: backends?.lastWriter,
        leaseHolder: backends?.leaseHolder,
      });
      return;
    case "listWrites":
      send({
        type: "writes",
        writes: backends?.collectWrites() ?? { kept: [], rolledBack: [], superseded: [] },
        lateArrivals: backends?.lateArrivals ?? [],
        sentBytes: backends?.listSentBytes() ?? {},
        delays: delays.measure(),
      });
  }
}

function send(answer: BackendAnswer): void {
  process.send?.(answer);
}
