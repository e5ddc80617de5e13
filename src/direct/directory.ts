import type { Disposable } from "../model/index.js";
import { DirectGroup } from "./group.js";
import type { DirectPorts } from "./ports.js";
import type { ServingConfig } from "./serving-config.js";

/** The groups that this proxy uses, kept in step with the scene. */
export class GroupDirectory implements Disposable {
  private readonly groups = new Map<string, DirectGroup>();

  constructor(private readonly ports: DirectPorts) {}

  find(name: string): DirectGroup | undefined {
    return this.groups.get(name);
  }

  /** Follows a new scene. A group that is listed no more keeps what runs, and gets nothing new. */
  update(scene: ServingConfig): void {
    for (const group of scene.groups.values()) {
      const known = this.groups.get(group.name);
      if (known === undefined) this.groups.set(group.name, new DirectGroup(group, this.ports));
      else known.update(group);
    }
    for (const [name, group] of this.groups) {
      if (!scene.groups.has(name)) group.update({ name, connections: 1, targets: [] });
    }
  }

  /** Forgets every position: the process stood still for a time that no clock shows. */
  forgetMarks(): void {
    for (const group of this.groups.values()) group.forgetMarks();
  }

  async dispose(): Promise<void> {
    await Promise.all([...this.groups.values()].map((group) => group.dispose()));
    this.groups.clear();
  }
}
