/**
 * Preloaded into a daemon: cuts it off from targets as its test says. A cut acts on sockets as the kernel would let the daemon see it,
 * since a proxy on the loopback address would accept connections that a partitioned host can't open.
 */
import net from "node:net";

/** The cut in force, `{ how, ports }`; undefined while there is none. `how` is "hang", "reset" or "refuse-new". */
let cut;

/** Open sockets with what was written and received during a cut that hangs. */
const sockets = new Map();

const proto = net.Socket.prototype;
const original = { connect: proto.connect, push: proto.push, write: proto._write, writev: proto._writev };

const isCut = (socket) => cut !== undefined && cut.ports.has(sockets.get(socket)?.port);
const isHanging = (socket) => isCut(socket) && cut.how === "hang";

const refuse = (socket) => {
    process.nextTick(() => socket.destroy(Object.assign(new Error("connect ECONNREFUSED (cut)"), { code: "ECONNREFUSED" })));
    return socket;
};

proto.connect = function (...args) {
    const options = Array.isArray(args[0]) ? args[0][0] : args[0];
    if (typeof options !== "object" || options.port === undefined) {
        return original.connect.apply(this, args);
    }
    sockets.set(this, { port: Number(options.port), received: [], written: [] });
    this.once("close", () => sockets.delete(this));
    if (!isCut(this)) {
        return original.connect.apply(this, args);
    }
    return cut.how === "hang" ? this : refuse(this);
};

proto.push = function (...args) {
    if (isHanging(this)) {
        sockets.get(this).received.push(args);
        return true;
    }
    return original.push.apply(this, args);
};

/** Accepts what is written during a cut that hangs, as the kernel does, and keeps it until the cut ends. */
const holdWrites = (writeNow) => function (...args) {
    if (!isHanging(this)) {
        writeNow.apply(this, args);
        return;
    }
    const done = args[args.length - 1];
    sockets.get(this).written.push({ writeNow, args: args.slice(0, -1) });
    done();
};
proto._write = holdWrites(original.write);
proto._writev = holdWrites(original.writev);

const deliverHeld = (socket, { received, written }) => {
    for (const { writeNow, args } of written.splice(0)) {
        writeNow.apply(socket, [...args, () => undefined]);
    }
    for (const args of received.splice(0)) {
        original.push.apply(socket, args);
    }
};

process.on("message", ({ how, ports }) => {
    cut = how === undefined ? undefined : { how, ports: new Set(ports) };
    for (const [socket, held] of [...sockets]) {
        if (cut === undefined) {
            deliverHeld(socket, held);
        }
        else if (cut.how === "reset" && isCut(socket)) {
            socket.destroy(Object.assign(new Error("read ECONNRESET (cut)"), { code: "ECONNRESET" }));
        }
    }
});
process.channel?.unref();
