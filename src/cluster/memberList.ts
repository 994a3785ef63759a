/**
 * The coordinator's list of running hosts, with a version number, and the other hosts' copies of it. Only differences are sent:
 * sending the whole list to every host at each change would cost traffic in proportion to the square of the number of hosts.
 */
import type { RunId, Term } from "../model/names.js";
import type { Member } from "./membership.js";

/** The whole list, or a difference between two versions of it. */
export interface MemberListUpdate {
    /** Version to which the difference applies; undefined when `came` is the whole list. */
    since?: number;
    /** Hosts added. */
    came: readonly Member[];
    /** Runs of the hosts removed. */
    went: readonly RunId[];
}

/** Which version of which coordinator's list a host has. */
export interface MemberListVersion {
    term: Term;
    version: number;
}

/** A coordinator's list. */
export class MemberList {
    private current: readonly Member[] = [];
    private currentVersion = 0;

    /** Version of the list; grows by one with each change. */
    get version(): number {
        return this.currentVersion;
    }

    /** Running hosts. */
    get members(): readonly Member[] {
        return this.current;
    }

    /** The whole list, as it is sent to a host without a copy. */
    fullUpdate(): MemberListUpdate {
        return { came: this.current, went: [] };
    }

    /**
     * Replaces the list.
     * @param members running hosts
     * @returns the difference, or undefined if there is none
     */
    replace(members: readonly Member[]): MemberListUpdate | undefined {
        const came = members.filter(({ runId }) => !hasRun(this.current, runId));
        const went = this.current.filter(({ runId }) => !hasRun(members, runId)).map(({ runId }) => runId);
        if (came.length === 0 && went.length === 0) {
            return undefined;
        }
        const since = this.currentVersion;
        this.current = members;
        this.currentVersion += 1;
        return { since, came, went };
    }
}

/** Another host's copy of a coordinator's list. */
export class MemberListCopy {
    private known: MemberListVersion & { members: readonly Member[] } | undefined;

    /** Version of the copy; undefined before the first list has been received. */
    get version(): MemberListVersion | undefined {
        return this.known === undefined ? undefined : { term: this.known.term, version: this.known.version };
    }

    /**
     * Applies the whole list or a difference. An older list is ignored, and so is a difference to a version that this host lacks.
     * @param term the coordinator's term
     * @param version version after the update
     * @param update the list or a difference
     * @returns the list, or undefined if the update was ignored
     */
    apply(term: Term, version: number, update: MemberListUpdate): readonly Member[] | undefined {
        const knownVersion = this.versionOf(term);
        if (update.since === undefined ? version < (knownVersion ?? 0) : update.since !== knownVersion) {
            return undefined;
        }
        const kept = update.since === undefined ? [] : this.known?.members.filter(({ runId }) => !update.went.includes(runId)) ?? [];
        this.known = { term, version, members: [...kept, ...update.came] };
        return this.known.members;
    }

    /** Tells whether this host's copy of a coordinator's list is outdated; false if it has no copy yet. */
    isBehind(term: Term, version: number): boolean {
        const known = this.versionOf(term);
        return known !== undefined && known < version;
    }

    private versionOf(term: Term): number | undefined {
        return this.known?.term === term ? this.known.version : undefined;
    }
}

function hasRun(members: readonly Member[], wanted: RunId): boolean {
    return members.some(({ runId }) => runId === wanted);
}
