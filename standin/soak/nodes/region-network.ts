import { DisposableStore, type Address, type Disposable } from "../../../src/model/index.js";
import { RegionLink } from "./region-link.js";
import { RegionRelay } from "./region-relay.js";
import { listRegions, type SoakSite } from "./site.js";

/** An address at which a process of a region listens. */
export interface RegionAddress {
  readonly region: string;
  readonly address: Address;
}

/** The port of the relay to each port of another region. */
export type Detours = Readonly<Record<string, number>>;

/** The links between all regions of a site, and the relays over them. */
export class RegionNetwork implements Disposable {
  private readonly owned = new DisposableStore();
  private readonly links = new Map<string, RegionLink>();
  private readonly regions: readonly string[];

  constructor(site: SoakSite) {
    const { crossing } = site;
    this.regions = listRegions(site);
    for (const from of this.regions) {
      for (const to of this.regions) {
        if (from === to) continue;
        const link = new RegionLink(crossing.delayMs, crossing.mbitPerSecond);
        this.links.set(formatPair(from, to), this.owned.add(link));
      }
    }
  }

  /** Starts a relay from each region to each address of the others; returns the detours of each region. */
  async openRelays(
    destinations: readonly RegionAddress[],
  ): Promise<Readonly<Record<string, Detours>>> {
    const detours: Record<string, Record<string, number>> = {};
    for (const from of this.regions) {
      const own: Record<string, number> = (detours[from] = {});
      for (const { region, address } of destinations) {
        const [there, back] = [formatPair(from, region), formatPair(region, from)].map((pair) =>
          this.links.get(pair),
        );
        if (there === undefined || back === undefined) continue;
        own[address.port] = await this.owned.add(new RegionRelay(address, there, back)).start();
      }
    }
    return detours;
  }

  isCut(from: string, to: string): boolean {
    return this.links.get(formatPair(from, to))?.isCut === true;
  }

  /** Silences the links between two regions, in both directions. */
  cut(regions: readonly [string, string]): void {
    for (const link of this.listBetween(regions)) link.cut();
  }

  heal(regions: readonly [string, string]): void {
    for (const link of this.listBetween(regions)) link.heal();
  }

  /** The bytes sent from each region to each other one, by names such as `east>west`. */
  listSentBytes(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.links].map(([pair, { sentBytes }]) => [pair, sentBytes]));
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  private listBetween([a, b]: readonly [string, string]): readonly RegionLink[] {
    return [formatPair(a, b), formatPair(b, a)].flatMap((pair) => this.links.get(pair) ?? []);
  }
}

function formatPair(from: string, to: string): string {
  return `${from}>${to}`;
}
