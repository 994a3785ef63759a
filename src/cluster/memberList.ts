/**
 * The list of hosts at work as a coordinator numbers its states, and the other hosts' copies of it. Only changes are sent, since a
 * list that goes to every host at each change costs bytes by the square of the hosts.
 */
import type { RunId, Term } from "../model/names.js";
import type { Member } from "./membership.js";

/** The list, or a change of it. */
export interface MemberNews {
    /** State that is changed; undefined when `came` is the whole list. */
    since?: number;
    came: readonly Member[];
    went: readonly RunId[];
}

/** Which state of which coordinator's list a host knows. */
export interface MemberState {
    term: Term;
    version: number;
}

/** A coordinator's list. */
export class MemberList {
    private current: readonly Member[] = [];
    private changes = 0;

    /** Number of the list's state. */
    get version(): number {
        return this.changes;
    }

    /** Hosts at work. */
    get members(): readonly Member[] {
        return this.current;
    }

    /** The whole list. */
    whole(): MemberNews {
        return { came: this.current, went: [] };
    }

    /**
     * Replaces the list.
     * @param members hosts at work
     * @returns what has changed, or undefined if nothing has
     */
    replace(members: readonly Member[]): MemberNews | undefined {
        const came = members.filter(({ runId }) => !hasRun(this.current, runId));
        const went = this.current.filter(({ runId }) => !hasRun(members, runId)).map(({ runId }) => runId);
        if (came.length === 0 && went.length === 0) {
            return undefined;
        }
        const since = this.changes;
        this.current = members;
        this.changes += 1;
        return { since, came, went };
    }
}

/** Another host's copy of a coordinator's list. */
export class MemberCopy {
    private known: MemberState & { members: readonly Member[] } | undefined;

    /** State that this host knows. */
    get state(): MemberState | undefined {
        return this.known === undefined ? undefined : { term: this.known.term, version: this.known.version };
    }

    /**
     * Takes in the list or a change of it. What leads to no newer state, or changes one that is not known, is ignored.
     * @param term the coordinator's term
     * @param version state that it leads to
     * @param news the list or a change
     * @returns the list, or undefined if it is as before
     */
    take(term: Term, version: number, news: MemberNews): readonly Member[] | undefined {
        const before = this.versionOf(term);
        if (news.since === undefined ? version < (before ?? 0) : news.since !== before) {
            return undefined;
        }
        const kept = news.since === undefined ? [] : this.known?.members.filter(({ runId }) => !news.went.includes(runId)) ?? [];
        this.known = { term, version, members: [...kept, ...news.came] };
        return this.known.members;
    }

    /** Tells whether a coordinator's list has gone on without this host; before the whole list has come it has not. */
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
