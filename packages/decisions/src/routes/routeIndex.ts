import type { Configuration, OrganisationKeys, Route, Service } from './configuration.js'

/** A configuration indexed for lookups per request. */
export interface RouteIndex {
  configuration: Configuration
  /** The host's route with the longest matching path prefix. Ignores the port and the query. */
  match(host: string, path: string): Route | undefined
  organisationOf(key: string): OrganisationKeys | undefined
  service(name: string): Service | undefined
}

/**
 * Indexes a configuration. The cost of a match grows with the path's depth, not with the number of
 * routes.
 */
export function createRouteIndex(configuration: Configuration): RouteIndex {
  const hosts = new Map<string, Map<string, Route>>()
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase()
    const prefixes = hosts.get(host) ?? new Map<string, Route>()
    hosts.set(host, prefixes)
    prefixes.set(route.prefix, route)
  }
  const keys = new Map<string, OrganisationKeys>()
  for (const organisation of configuration.organisations ?? []) {
    for (const key of organisation.keys) keys.set(key, organisation)
  }
  const services = new Map(configuration.services.map(service => [service.name, service]))
  return {
    configuration,
    match(host, path) {
      const prefixes = hosts.get(withoutPort(host).toLowerCase())
      return prefixes && longestPrefix(prefixes, withoutQuery(path))
    },
    organisationOf: key => keys.get(key),
    service: name => services.get(name),
  }
}

/** Tries the prefixes of the path from its last slash back to its first. */
function longestPrefix(prefixes: Map<string, Route>, path: string): Route | undefined {
  for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
    const route = prefixes.get(path.slice(0, end + 1))
    if (route) return route
    if (end === 0) return undefined
  }
  return undefined
}

function withoutPort(host: string): string {
  const at = host.indexOf(':')
  return at === -1 ? host : host.slice(0, at)
}

function withoutQuery(path: string): string {
  const at = path.indexOf('?')
  return at === -1 ? path : path.slice(0, at)
}
