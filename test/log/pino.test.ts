import { expect, test } from "@jest/globals";
import { fleetEvents } from "../../src/log/events/fleet.js";
import { PinoLogger } from "../../src/log/index.js";

test("a line has the event's number, name and fields; lower levels are omitted", () => {
  const lines: string[] = [];
  const logger = new PinoLogger({
    level: "info",
    base: { vm: "a" },
    destination: { write: (line) => void lines.push(line) },
  });
  logger.write(fleetEvents.configurationAdopted, { revision: 7 });
  logger.write(fleetEvents.configurationBehind);
  logger.dispose();
  expect(lines.map((line) => JSON.parse(line) as object)).toMatchObject([
    { vm: "a", event: 5001, name: "configurationAdopted", revision: 7, level: 30 },
  ]);
});
