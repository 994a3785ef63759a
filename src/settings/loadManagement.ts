/** Tells whether load management is in force. */
import type { RoutingConfig } from "../model/routing.js";
import type { HostSettings } from "./hostSettings.js";

/**
 * Returns whether requests are placed by their expected cost and the backlog of targets.
 * @param settings settings of the host
 * @param config the configuration in force; undefined before the first
 */
export function isLoadManaged(
    settings: Pick<HostSettings, "loadManagement">, config: Pick<RoutingConfig, "loadManagement"> | undefined,
): boolean {
    return settings.loadManagement || config?.loadManagement === true;
}
