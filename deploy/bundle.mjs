/** Bundles each program into one file that contains only the code it uses, which shortens its start. */
import { build } from "esbuild";

/**
 * Modules of libraries that no program uses, with their replacements. Where the library treats a module as optional, the replacement
 * throws an error, as if the module were not installed; where the library always loads it, the replacement is empty.
 */
const throwingModule = "throw new Error(\"not part of the bundle\");";
const emptyModule = "";
const unusedModules = [
    { modulePattern: /^(dtrace-provider|mv|source-map-support|msgpackr-extract)$/, contents: throwingModule },
    { modulePattern: /^\.\/lib\/(pushgateway|cluster|defaultMetrics)$/, contents: emptyModule },
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
