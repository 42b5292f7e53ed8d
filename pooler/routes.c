#include "routes.h"

#include <string.h>

#include <talloc.h>

static int routes_destructor(routes_t *routes)
{
	HASH_CLEAR(hh, routes->by_database);
	HASH_CLEAR(hh, routes->services_by_name);
	return 0;
}

routes_t *routes_create(void *parent)
{
	routes_t *routes = talloc_zero(parent, routes_t);

	list_init(&routes->routes);
	list_init(&routes->services);
	routes->customers = customers_create(routes);
	talloc_set_destructor(routes, routes_destructor);
	return routes;
}

/*
 * A route and its two names share one allocation, since a large configuration has thousands of
 * routes.
 */
route_t *routes_add(routes_t *routes, const char *database, const char *service)
{
	size_t database_size = strlen(database) + 1;
	size_t service_size = strlen(service) + 1;
	route_t *route = talloc_zero_size(routes, sizeof(*route) + database_size + service_size);
	char *names = (char *)(route + 1);

	talloc_set_name_const(route, "route_t");
	route->database = memcpy(names, database, database_size);
	route->service = memcpy(names + database_size, service, service_size);
	list_add_tail(&routes->routes, &route->node);
	if (routes_find(routes, database) == NULL)
		HASH_ADD_KEYPTR(hh, routes->by_database, route->database, database_size - 1, route);
	return route;
}

service_limits_t *routes_add_service(routes_t *routes, const char *name)
{
	service_limits_t *service = talloc_zero(routes, service_limits_t);

	service->name = talloc_strdup(service, name);
	list_add_tail(&routes->services, &service->node);
	if (routes_find_service(routes, name) == NULL)
		HASH_ADD_KEYPTR(hh, routes->services_by_name, service->name, strlen(name), service);
	return service;
}

const route_t *routes_find(const routes_t *routes, const char *database)
{
	const route_t *route;

	HASH_FIND_STR(routes->by_database, database, route);
	return route;
}

const service_limits_t *routes_find_service(const routes_t *routes, const char *name)
{
	const service_limits_t *service;

	HASH_FIND_STR(routes->services_by_name, name, service);
	return service;
}
