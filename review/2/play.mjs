/** Some answers are bytes that are no answer: a head with a long run of blanks in one line. */
import { playOddAnswers } from "../common/oddAnswers.mjs";

const blankCount = 60_000;

await playOddAnswers("review/2", () => Buffer.from(`HTTP/1.1 200 OK\r\nContent-Type: text/plain${" ".repeat(blankCount)}\0\r\n\r\n`, "latin1"));
