/**
 * Runs the daemon in the build until SIGUSR2, and then writes V8's code cache of all functions compiled
 * by then, in the form that the loader expects.
 * Arguments: the file with the code, the file for the cache, and then those of the daemon.
 */
/* eslint-disable @typescript-eslint/no-require-imports -- a CommonJS module, as is the program that it runs */
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const v8 = require("node:v8");
const { Script } = require("node:vm");

const [codeFile, cacheFile] = process.argv.splice(2, 2);
const code = readFileSync(codeFile);
const script = new Script(code.toString("latin1"), { filename: codeFile });
// The collector would drop the bytecode of functions that have not run for a while, for example those of the start.
v8.setFlagsFromString("--no-flush-bytecode");
script.runInThisContext()(exports, require, module, codeFile, __dirname);
process.on("SIGUSR2", () => {
    // V8 accepts a cache only with the flags that were in force when it was written.
    v8.setFlagsFromString("--flush-bytecode");
    const cache = script.createCachedData();
    writeFileSync(cacheFile, Buffer.concat([code, cache, cache]));
    process.exit(0);
});
