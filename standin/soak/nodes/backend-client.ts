import type { Address } from "../../../src/model/index.js";
import type { Child } from "../../processes/index.js";
import type { BackendAnswer, BackendCommand, BackendRequest } from "./commands.js";
import type { Detours, RegionAddress } from "./region-network.js";
import type { SoakSite } from "./site.js";

type Answer<T extends BackendAnswer["type"]> = Extract<BackendAnswer, { readonly type: T }>;

/** The run's end of its messages with the process with the store and the targets. Requests are answered in order. */
export class BackendClient {
  private last: Promise<unknown> = Promise.resolve();

  constructor(private readonly child: Child) {}

  async start(site: SoakSite, nodes: number): Promise<readonly Address[]> {
    return (await this.ask({ type: "start", site, nodes }, "started")).stores;
  }

  async openRelays(
    addresses: readonly RegionAddress[],
  ): Promise<Readonly<Record<string, Detours>>> {
    return (await this.ask({ type: "openRelays", addresses }, "relays")).detours;
  }

  describe(): Promise<Answer<"described">> {
    return this.ask({ type: "describe" }, "described");
  }

  listWrites(): Promise<Answer<"writes">> {
    return this.ask({ type: "listWrites" }, "writes");
  }

  /** Has a fault or a change carried out, without waiting for its end. */
  apply(command: BackendCommand): void {
    this.tell({ type: "apply", command });
  }

  private ask<T extends BackendAnswer["type"]>(
    request: BackendRequest,
    type: T,
  ): Promise<Answer<T>> {
    const answered = this.last.then(
      () =>
        new Promise<Answer<T>>((resolve, reject) => {
          this.child.process.once("message", (answer: BackendAnswer) => {
            if (answer.type === type) resolve(answer as Answer<T>);
            else reject(new Error(`the answer to ${request.type} is ${answer.type}, not ${type}`));
          });
          this.tell(request);
        }),
    );
    this.last = answered.catch(() => undefined);
    return answered;
  }

  private tell(request: BackendRequest): void {
    this.child.process.send(request);
  }
}
