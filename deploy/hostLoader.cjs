/**
 * Starts the daemon with V8's code cache, which saves most of the compiling. V8 checks that the cache was written by the same version with the
 * same flags, and compiles the program as usual if not, but it runs damaged bytecode, so the loader checks the content of both files.
 */
/* eslint-disable @typescript-eslint/no-require-imports -- a CommonJS module, as is the program that it runs */
"use strict";
const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");
const { crc32 } = require("node:zlib");

const codeFile = join(__dirname, "hornbeam-host.code.js");
const code = readFileSync(codeFile);

/** The cache file ends with the checksums of the program and of the cache. */
const checksumBytes = 4;

/** Returns the code cache for this program, version and architecture, or undefined if there is none. */
function readCodeCache() {
    try {
        const file = readFileSync(join(__dirname, `hornbeam-host-${process.version}-${process.arch}.cache`));
        const cache = file.subarray(0, -2 * checksumBytes);
        const isWhole = file.readUInt32LE(cache.length) === crc32(code)
            && file.readUInt32LE(cache.length + checksumBytes) === crc32(cache);
        return isWhole ? cache : undefined;
    }
    catch {
        return undefined;
    }
}

// The build writes ASCII only, which Latin-1 decodes without a check of each byte.
const script = new Script(code.toString("latin1"), { filename: codeFile, cachedData: readCodeCache() });
script.runInThisContext()(exports, require, module, codeFile, __dirname);
