import { expect } from "chai";
import { topics } from "../../platform/names.js";
import type { StoreStandIn } from "../../platform/standins/storeStandIn.js";
import { noStoreFaults, startStore } from "../../platform/standins/storeStandIn.js";
import { createStore } from "../../platform/store.js";
import type { Address, Offset } from "../../src/model/names.js";
import type { StorePort } from "../../src/store/storePort.js";

describe("readings of a store that came back from an older copy", () => {
    let store: StoreStandIn;
    let port: StorePort;

    beforeEach(async () => {
        store = await startStore("127.0.0.1", 0);
        port = createStore(store.address as Address, () => undefined);
    });

    afterEach(() => store.stop());

    function write(version: number): void {
        store.put(topics.configuration, "config", { version });
    }

    async function takeSnapshot(): Promise<Offset> {
        return (await port.snapshot("configuration"))._unsafeUnwrap().upTo;
    }

    async function readKind(from: Offset): Promise<string> {
        return (await port.read("configuration", from, 0))._unsafeUnwrap().kind;
    }

    // Another record stands at the offset that was read.
    it("do not take a position that was reached before for one in the copy, also if the first snapshot since fails", async () => {
        write(1);
        const copy = store.takeCopy();
        write(2);
        const upTo = await takeSnapshot();
        expect(await readKind(upTo)).to.equal("page");
        store.returnFrom(copy);
        write(3);
        store.faults = { ...noStoreFaults, busy: true };
        expect((await port.snapshot("configuration")).isErr()).to.equal(true);
        store.faults = noStoreFaults;
        expect(await readKind(upTo)).to.equal("expired");
        expect(await readKind(await takeSnapshot())).to.equal("page");
    });

    it("do not take an answer that was asked for before the latest snapshot for one from its position", async () => {
        write(1);
        const copy = store.takeCopy();
        write(2);
        const upTo = await takeSnapshot();
        store.faults = { ...noStoreFaults, delayMs: 60 };
        const reading = port.read("configuration", upTo, 0);
        store.returnFrom(copy);
        write(3);
        store.faults = noStoreFaults;
        await takeSnapshot();
        expect((await reading)._unsafeUnwrap().kind).to.equal("expired");
    });
});
