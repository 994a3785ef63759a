#!/usr/bin/env node
/** Command line for operators. */
import { readFileSync } from "node:fs";
import yargs from "yargs";
import { createDumpHttp } from "../adapters/dumpHttp.js";
import { createHostListHttp, createLogHttp } from "../adapters/logHttp.js";
import { settingsOrExit } from "../adapters/process.js";
import { createSystemClock } from "../adapters/systemClock.js";
import * as commands from "../control/commands.js";
import * as fleet from "../control/fleetCommands.js";
import type { CommandResult } from "../control/output.js";
import { exitCodes, render } from "../control/output.js";
import { ControlSession } from "../control/session.js";
import { checkSettings, controlSettings } from "../settings/settings.js";

const defaultWaitMs = 9_000;

interface Common {
    logUrl?: string;
    hostListUrl?: string;
    json: boolean;
}

interface Note {
    author: string;
    reason: string;
}

/** Runs a command against the platform and the hosts, prints its result and ends. */
async function run(common: Common, use: (session: ControlSession) => Promise<CommandResult>): Promise<void> {
    const { logUrl, hostListUrl } = common;
    const settings = settingsOrExit(checkSettings({ logUrl, hostListUrl }, process.env, controlSettings));
    const session = new ControlSession({
        log: createLogHttp(settings.logUrl, "hornbeamctl"),
        hostList: createHostListHttp(settings.hostListUrl),
        dumps: createDumpHttp(),
        clock: createSystemClock(),
    });
    finish(await use(session), common.json);
}

function finish(result: CommandResult, asJson: boolean): void {
    process.stdout.write(render(result, asJson), () => process.exit(result.exitCode));
}

function textOf(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        process.stderr.write(`${file} cannot be read: ${String(error)}\n`);
        process.exit(exitCodes.badInput);
    }
}

const note = {
    author: { type: "string", demandOption: true, describe: "who makes the change" },
    reason: { type: "string", demandOption: true, describe: "why" },
} as const;

await yargs(process.argv.slice(2))
    .scriptName("hornbeamctl")
    .option("log-url", { type: "string", describe: "address of the platform's log (or HORNBEAM_LOG_URL)" })
    .option("host-list-url", { type: "string", describe: "address of the platform's host list (or HORNBEAM_HOST_LIST_URL)" })
    .option("json", { type: "boolean", default: false, describe: "print JSON for programs" })
    .command("config <action>", "configuration", (config) => config
        .command("validate <file>", "check a document", (of) => of.positional("file", { type: "string", demandOption: true }),
            (args) => {
                finish(commands.validate(textOf(args.file)), args.json);
            })
        .command("publish <file>", "publish a document", (of) => of.positional("file", { type: "string", demandOption: true })
            .options(note).option("based-on", { type: "number", describe: "version that the document was made from" }),
        (args) => run(args, (session) => commands.publishText(session, textOf(args.file), args as Note, args.basedOn)))
        .command("show", "show the document in force", {}, (args) => run(args as unknown as Common, commands.show))
        .command("diff <file>", "compare a document with the one in force",
            (of) => of.positional("file", { type: "string", demandOption: true }),
            (args) => run(args, (session) => commands.compare(session, textOf(args.file))))
        .command("history", "list the versions that were in force", {}, (args) => run(args as unknown as Common, commands.history))
        .command("status", "tell where the document is in force",
            (of) => of.option("wait", { type: "boolean", default: false, describe: "wait until every live host has it" })
                .option("timeout-ms", { type: "number", default: defaultWaitMs }),
            (args) => run(args, (session) => commands.configStatus(session, args.wait ? args.timeoutMs : 0)))
        .command("revert <version>", "publish an earlier version again",
            (of) => of.positional("version", { type: "number", demandOption: true }).options(note),
            (args) => run(args, (session) => commands.revert(session, args.version, args)))
        .demandCommand(1))
    .command("begin", "let hosts start on a log whose older records have expired", {},
        (args) => run(args as unknown as Common, commands.begin))
    .command("status", "show every live host", {}, (args) => run(args as unknown as Common, fleet.status))
    .command("cells", "show every cell and its coordinator", {}, (args) => run(args as unknown as Common, fleet.cells))
    .command("owners <key>", "show which server owns INSTITUTION/POOL/KEY",
        (of) => of.positional("key", { type: "string", demandOption: true }),
        (args) => run(args, (session) => fleet.owners(session, args.key)))
    .command("drain <target>", "take work off a target",
        (of) => of.positional("target", { type: "string", demandOption: true }).options(note)
            .option("undo", { type: "boolean", default: false, describe: "let it have work again" }),
        (args) => run(args, (session) => commands.drain(session, args.target, args.undo, args)))
    .command("move <key> <target>", "move the shard of INSTITUTION/POOL/KEY to a target",
        (of) => of.positional("key", { type: "string", demandOption: true }).positional("target", { type: "string", demandOption: true }).options(note),
        (args) => run(args, (session) => commands.move(session, args.key, args.target, args)))
    .command("dump <host>", "show the whole state of a host's coordinator",
        (of) => of.positional("host", { type: "string", demandOption: true }),
        (args) => run(args, (session) => fleet.dump(session, args.host)))
    .strict()
    .demandCommand(1, "Name a command.")
    .exitProcess(false)
    .fail((message: string | undefined, error: Error | undefined) => {
        process.stderr.write(`${message ?? error?.message ?? "bad command line"}\nSee: hornbeamctl --help\n`);
        process.exit(exitCodes.badInput);
    })
    .parseAsync();
