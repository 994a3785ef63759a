/**
 * Side-effect import that sets the locale of Zod to English. `zod/mini` loads no locale by itself, and without one its messages do
 * not say what was expected and what was found.
 */
import { config } from "zod/mini";
import en from "zod/v4/locales/en.js";

config(en());
