/** Bundles each program into one file, so that a start loads only what is used. */
import { build } from "esbuild";

/** Optional parts of libraries that the daemon does not use. */
const unused = ["dtrace-provider", "mv", "source-map-support", "msgpackr-extract"];

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
    external: unused,
    // Some libraries ask for the address of their own module, which a bundle in this format does not have.
    define: { "import.meta.url": "bundleUrl" },
    banner: { js: "const bundleUrl = require(\"node:url\").pathToFileURL(__filename).href;" },
    logLevel: "warning",
});
