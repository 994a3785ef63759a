/** Bundles each program into one file with only the code that it uses, and adds V8's code cache of the daemon; both shorten its start. */
import { copyFileSync, mkdirSync, readdirSync, readFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { build } from "esbuild";
import { writeCodeCache } from "./codeCache.mjs";

/**
 * Modules of libraries that no program uses, with their replacements. Where the library treats a module as optional, the replacement
 * throws an error, as if the module were not installed; where the library always loads it, the replacement is empty.
 */
const throwingModule = "throw new Error(\"not part of the bundle\");";
const emptyModule = "";

/** The HTTP client of the bundle creates agents for HTTPS when it is loaded; the platform uses HTTP only. */
const agentOnlyModule = "exports.Agent = class {};";
const unusedModules = [
    { modulePattern: /^(dtrace-provider|mv|source-map-support|msgpackr-extract)$/, contents: throwingModule },
    { modulePattern: /^\.\/lib\/(pushgateway|cluster|defaultMetrics)$/, contents: emptyModule },
    // Used for HTTPS and for compressed responses, which no program of this repository asks for.
    { modulePattern: /^https$/, contents: agentOnlyModule },
    { modulePattern: /^zlib$/, contents: emptyModule },
];

/** esbuild plugin that replaces the unused modules. Loading them would take as long as all the rest of a program's start. */
const replaceUnusedModules = {
    name: "replace unused modules",
    setup: ({ onResolve, onLoad }) => {
        for (const { modulePattern, contents } of unusedModules) {
            onResolve({ filter: modulePattern }, ({ path }) => ({ path, namespace: "unused", pluginData: contents }));
        }
        onLoad({ filter: /.*/, namespace: "unused" }, ({ pluginData }) => ({ contents: pluginData, loader: "js" }));
    },
};

const hostProgram = "target/hornbeam-host.cjs";
const hostCode = "target/hornbeam-host.code.js";

/** Moves the daemon's code to where its loader expects it, as a function with the parameters of a CommonJS module, and adds the loader. */
function splitHostProgram() {
    const code = `(function (exports, require, module, __filename, __dirname) {${readFileSync(hostProgram, "utf8")}\n})`;
    // The loader reads Latin-1; esbuild escapes all other characters.
    if (Buffer.byteLength(code) !== code.length) {
        throw new Error(`${hostProgram} contains characters beyond ASCII`);
    }
    writeFileSync(hostCode, code);
    copyFileSync("deploy/hostLoader.cjs", hostProgram);
}

/** Writes the daemon's code cache. A host starts without it too, so a failure does not fail the build. */
async function addCodeCache() {
    const cacheFile = `target/hornbeam-host-${process.version}-${process.arch}.cache`;
    const unfinishedFile = `${cacheFile}.unfinished`;
    try {
        await writeCodeCache(hostCode, unfinishedFile);
        renameSync(unfinishedFile, cacheFile);
    }
    catch (error) {
        process.stderr.write(`no code cache: ${error.message}\n`);
        rmSync(unfinishedFile, { force: true });
    }
}

mkdirSync("target", { recursive: true });
for (const name of readdirSync("target").filter((name) => /\.cache(\.unfinished)?$/.test(name))) {
    rmSync(`target/${name}`);
}
await build({
    entryPoints: {
        "hornbeam-host": "platform/main.ts",
        "hornbeamctl": "platform/ctl.ts",
        "hornbeam-standin": "platform/standins/main.ts",
    },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    plugins: [replaceUnusedModules],
    define: {
        // Some libraries read the URL of their own module, which is not available in a CommonJS bundle.
        "import.meta.url": "bundleUrl",
        "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": "\"true\"",
    },
    banner: { js: "const bundleUrl = require(\"node:url\").pathToFileURL(__filename).href;" },
    logLevel: "warning",
});
splitHostProgram();
await addCodeCache();
