#!/usr/bin/env node
import { createContext, runProgram } from "../command/index.js";

process.exitCode = await runProgram(process.argv, createContext, (text) => {
  console.error(text);
});
