/**
 * Starts the daemon with V8's code cache, which saves most of the compiling. V8 checks that the cache was written by the same version with the
 * same flags, and compiles the program as usual if not, but it runs damaged bytecode, so the loader checks the content of both files.
 * It compares copies instead of checksums, since the runtime's modules with checksums take longer to load than the copies to read.
 */
/* eslint-disable @typescript-eslint/no-require-imports -- a CommonJS module, as is the program that it runs */
"use strict";
const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const codeFile = join(__dirname, "hornbeam-host.code.js");
const code = readFileSync(codeFile);

/**
 * Returns the code cache for this program, version and architecture, or undefined if there is none. Its file consists of the program and of
 * two copies of the cache.
 */
function readCodeCache() {
    try {
        const file = readFileSync(join(__dirname, `hornbeam-host-${process.version}-${process.arch}.cache`));
        const secondCopy = (code.length + file.length) / 2;
        const cache = file.subarray(code.length, secondCopy);
        return file.subarray(0, code.length).equals(code) && file.subarray(secondCopy).equals(cache) ? cache : undefined;
    }
    catch {
        return undefined;
    }
}

// The build writes ASCII only, which Latin-1 decodes without a check of each byte.
const script = new Script(code.toString("latin1"), { filename: codeFile, cachedData: readCodeCache() });
script.runInThisContext()(exports, require, module, codeFile, __dirname);
