import type { Channel, Gate } from "./faults.js";
import type { StandinTarget } from "./server.js";

/**
 * Implements the control function `standin_fault(name, value)`. A fault that could block the call
 * that ends it, such as a freeze, ends by itself after `value` milliseconds.
 */
export function applyFault(target: StandinTarget, name: string, value: number): string {
  const { faults } = target;
  switch (name) {
    case "kill":
      setImmediate(() => void target.kill());
      break;
    case "freeze":
      closeFor(faults.running, value);
      break;
    case "cutControl":
      closeFor(faults.control, value);
      break;
    case "cutStatements":
      closeFor(faults.statements, value);
      break;
    case "cutAnswers":
      closeFor(faults.statements.answers, value);
      break;
    case "cutReplication":
      if (value > 0) faults.replication.close();
      else faults.replication.open();
      break;
    case "slow":
      faults.slowFactor = value;
      break;
    case "silence":
      target.silenceConnections();
      break;
    case "loseCommitAnswers":
      faults.loseCommitAnswers(value, "break");
      break;
    case "lag":
      target.setLag(value);
      break;
    default:
      return `unknown fault ${name}`;
  }
  return "done";
}

function closeFor(gate: Gate | Channel, ms: number): void {
  gate.close();
  setTimeout(() => gate.open(), ms);
}
