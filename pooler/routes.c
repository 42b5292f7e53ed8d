#include "routes.h"

#include <string.h>

#include <talloc.h>

routes_t *routes_create(void *parent)
{
	routes_t *routes = talloc_zero(parent, routes_t);

	list_init(&routes->routes);
	list_init(&routes->services);
	routes->customers = customers_create(routes);
	return routes;
}

const route_t *routes_find(const routes_t *routes, const char *database)
{
	list_for_each (it, &routes->routes) {
		const route_t *route = list_entry(it, route_t, node);

		if (strcmp(route->database, database) == 0)
			return route;
	}
	return NULL;
}

const service_limits_t *routes_service(const routes_t *routes, const char *name)
{
	list_for_each (it, &routes->services) {
		const service_limits_t *service = list_entry(it, service_limits_t, node);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}
