/** The schema library, set to say in English what was expected and what was found, whichever of its parts are loaded. */
import * as z from "zod/mini";
import en from "zod/v4/locales/en.js";

z.config(en());

export { z };
