/** A configuration record for tests. */
import type { Offset, RecordId } from "../../src/model/ids.js";
import { sampleConfig } from "../../src/harness/sampleConfig.js";
import type { ConfigDocument } from "../../src/config/document.js";
import type { ConfigRecord } from "../../src/platform/records.js";

const addresses = ["10.0.0.1:1", "10.0.0.2:1"];

export function smallDocument(): ConfigDocument {
    return sampleConfig({ status: addresses, archive: addresses, numbering: addresses, gazetteer: addresses }, 4);
}

export function configRecord(recordId: string, basedOn: number, change: (of: ConfigDocument) => void = () => undefined): ConfigRecord {
    const document = smallDocument();
    change(document);
    return {
        kind: "config", recordId: recordId as RecordId, basedOn: basedOn as Offset, author: "a", reason: "b", publishedWallMs: 0, document,
    };
}
