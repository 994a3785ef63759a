/** Bundles each program into one file, so that a start loads only what is used. */
import { build } from "esbuild";

/**
 * Parts of libraries that no program uses, and what stands in their place. A library that loads a part only if it is there finds it
 * missing; one that always loads it gets an empty module.
 */
const missing = "throw new Error(\"left out of the bundle\");";
const empty = "";
const unusedParts = [
    { part: /^(dtrace-provider|mv|source-map-support|msgpackr-extract)$/, contents: missing },
    { part: /^\.\/lib\/(pushgateway|cluster|defaultMetrics)$/, contents: empty },
];

/** Loading what is not used would take as long as the rest of a start. */
const leaveOutUnused = {
    name: "leave out unused parts",
    setup: ({ onResolve, onLoad }) => {
        for (const { part, contents } of unusedParts) {
            onResolve({ filter: part }, ({ path }) => ({ path, namespace: "unused", pluginData: contents }));
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
    plugins: [leaveOutUnused],
    define: {
        // Some libraries ask for the address of their own module, which a bundle in this format does not have.
        "import.meta.url": "bundleUrl",
        "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": "\"true\"",
    },
    banner: { js: "const bundleUrl = require(\"node:url\").pathToFileURL(__filename).href;" },
    logLevel: "warning",
});
