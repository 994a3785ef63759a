/** Sets the schema library to say in English what was expected and what was found, whichever of its parts are loaded. */
import { config } from "zod/mini";
import en from "zod/v4/locales/en.js";

config(en());
