/** Values that no correct program writes, for tests of what is read from others. */
import fc from "fast-check";

/** Returns an array that is nested so many levels deep, as JSON. */
export function deepJson(depth: number): string {
    return `${"[".repeat(depth)}${"]".repeat(depth)}`;
}

/** Numbers at and beyond the ends of usual ranges. */
export const oddNumbers = [
    0, -0, -1, 0.5, 1, 255, 256, 65_535, 65_536, 99_999, 2 ** 31 - 1, 2 ** 31, 2 ** 32, 1e12, 1e13, 2 ** 53, 2 ** 53 + 2, 1e15, 1e308,
    -1e308, 5e-324,
];

const oddTexts = [
    "", " ", "\r\n", "\u0000", "NaN", "1e999", "10.0.0.9:65536", "10.0.0.9:0", "999.0.0.1:80", "__proto__", "x".repeat(300),
];

/** Any odd value that JSON can hold. */
export const anyOddValue: fc.Arbitrary<unknown> = fc.oneof(
    fc.constantFrom<unknown>(...oddNumbers), fc.constantFrom<unknown>(...oddTexts), fc.constantFrom<unknown>(undefined, true, [], {}, [[]]),
    fc.double({ noNaN: true, noDefaultInfinity: true }), fc.string(), fc.jsonValue());

/**
 * Returns a value as JSON with up to three changes: a field replaced by an odd value or removed, or a byte of the text changed.
 * @param value the value
 * @param random source of the changes
 */
export function mutate(value: unknown, random: fc.GeneratorValue): string {
    let mutated = structuredClone(value);
    const changeCount = random(() => fc.nat({ max: 3 }));
    for (let change = 0; change < changeCount; change++) {
        mutated = replaceSomewhere(mutated, random);
    }
    const text = JSON.stringify(mutated) as string | undefined ?? "";
    return random(() => fc.nat({ max: 4 })) === 0 ? replaceCharacter(text, random) : text;
}

function replaceSomewhere(value: unknown, random: fc.GeneratorValue): unknown {
    if (typeof value !== "object" || !value || Object.keys(value).length === 0 || random(() => fc.nat({ max: 9 })) === 0) {
        return random(() => anyOddValue);
    }
    const keys = Object.keys(value);
    const key = keys[random(() => fc.nat({ max: keys.length - 1 }))] as keyof typeof value;
    const replaced: unknown = replaceSomewhere(value[key], random);
    return Array.isArray(value)
        ? value.map((item: unknown, index) => String(index) === key ? replaced : item)
        : { ...value, [key]: replaced };
}

function replaceCharacter(text: string, random: fc.GeneratorValue): string {
    const index = random(() => fc.nat({ max: Math.max(0, text.length - 1) }));
    return text.slice(0, index) + random(() => fc.constantFrom("", "9", "-", "\"", "[", "}", "e9", "\\u0000", ",")) + text.slice(index + 1);
}
