/** Runs hornbeamctl as a process. */
import { execFile } from "node:child_process";
import { resolve as resolvePath } from "node:path";

const program = resolvePath("target/hornbeamctl.cjs");

/** How a process ended, and what it printed. */
export interface Run {
    exitCode: number;
    stdout: string;
    stderr: string;
}

/**
 * Runs hornbeamctl.
 * @param args its command line
 * @param environment its environment variables, and no others
 */
export function run(args: readonly string[], environment: Record<string, string> = {}, options: { cwd?: string } = {}): Promise<Run> {
    return new Promise((resolve) => {
        const child = execFile(process.execPath, [program, ...args], { env: environment, ...options }, (_error, stdout, stderr) => {
            resolve({ exitCode: child.exitCode ?? -1, stdout, stderr });
        });
    });
}
