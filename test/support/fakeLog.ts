/** A log in memory for unit tests, with the faults of the real one. */
import { err, ok } from "neverthrow";
import type { Offset } from "../../src/model/ids.js";
import { failure } from "../../src/model/failure.js";
import type { LogPort } from "../../src/platform/logPort.js";
import type { StoredRecord } from "../../src/platform/records.js";

export class FakeLog implements LogPort {
    records: StoredRecord[] = [];
    next = 1;
    down = false;
    loseAnswers = 0;
    appends = 0;

    append(payload: object) {
        if (this.down) {
            return Promise.resolve(err(failure("unreachable", "log-append", "log", "down")));
        }
        this.appends += 1;
        const offset = this.next as Offset;
        this.records.push({ offset, payload: structuredClone(payload) });
        this.next += 1;
        if (this.loseAnswers > 0) {
            this.loseAnswers -= 1;
            return Promise.resolve(err(failure("lost", "log-append", "log", "no answer in time")));
        }
        return Promise.resolve(ok(offset));
    }

    async read(from: Offset, waitMs: number) {
        await new Promise((resolve) => setTimeout(resolve, Math.min(waitMs, 2)));
        return this.down
            ? err(failure("unreachable", "log-read", "log", "down"))
            : ok({
                records: this.records.filter((record) => record.offset >= from),
                firstOffset: (this.records[0]?.offset ?? this.next) as Offset,
                nextOffset: this.next as Offset,
            });
    }

    /** Forgets the records up to an offset. */
    forget(upTo: number): void {
        this.records = this.records.filter((record) => record.offset > upTo);
    }
}
