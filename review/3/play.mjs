/** Some answers have a body without end, in chunks of one byte, until the caller closes. */
import { playOddAnswers } from "../common/oddAnswers.mjs";

const chunksPerWrite = 4_096;

await playOddAnswers("review/3", ({ headers }) => (socket) => {
    const id = headers["request-id"];
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: signed-${id}\r\nTransfer-Encoding: chunked\r\n\r\n`);
    const chunks = Buffer.from("1\r\nx\r\n".repeat(chunksPerWrite));
    const writeMore = () => {
        if (!socket.destroyed) {
            if (socket.write(chunks)) {
                setImmediate(writeMore);
            }
            else {
                socket.once("drain", writeMore);
            }
        }
    };
    writeMore();
});
