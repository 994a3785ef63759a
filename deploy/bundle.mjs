/** Bundles each program into one file, so that a start loads only what is used. */
import { build } from "esbuild";

/** Optional parts of libraries that no program uses, and what stands in their place: most libraries ask whether loading them fails. */
const absent = "throw new Error(\"left out of the bundle\");";
const unused = new Map([
    ["dtrace-provider", absent],
    ["mv", absent],
    ["source-map-support", absent],
    ["msgpackr-extract", absent],
    // prom-client loads it for metrics of the process that are not collected.
    ["@opentelemetry/api", ""],
]);

/** Loading what is not used would take as long as the rest of a start. */
const leaveOutUnused = {
    name: "leave out unused parts",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^[@a-z]/ }, ({ path }) => unused.has(path) ? { path, namespace: "unused" } : undefined);
        onLoad({ filter: /.*/, namespace: "unused" }, ({ path }) => ({ contents: unused.get(path), loader: "js" }));
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
    minifyWhitespace: false,
    plugins: [leaveOutUnused],
    define: {
        // Some libraries ask for the address of their own module, which a bundle in this format does not have.
        "import.meta.url": "bundleUrl",
        "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": "\"true\"",
    },
    banner: { js: "const bundleUrl = require(\"node:url\").pathToFileURL(__filename).href;" },
    logLevel: "warning",
});
