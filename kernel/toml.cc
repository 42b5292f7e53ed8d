// The project's only C++ file: no C library for TOML is packaged. Nested keys are flattened to
// "table.key". Each key keeps its line number for error messages.
#include "toml.h"

#include <cstring>
#include <string>

#include <jansson.h>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

static json_t *value_to_json(const toml::node &node)
{
	if (auto text = node.as_string())
		return json_string(text->get().c_str());
	if (auto number = node.as_integer())
		return json_integer(number->get());
	if (auto real = node.as_floating_point())
		return json_real(real->get());
	if (auto flag = node.as_boolean())
		return json_boolean(flag->get());
	if (auto list = node.as_array()) {
		json_t *out = json_array();
		for (auto &item : *list)
			json_array_append_new(out, value_to_json(item));
		return out;
	}
	return json_null();
}

static void flatten(const toml::table &table, const std::string &prefix, json_t *out)
{
	for (auto &&[key, node] : table) {
		std::string path = prefix + std::string(key.str());

		if (auto inner = node.as_table()) {
			flatten(*inner, path + ".", out);
			continue;
		}
		json_t *entry = json_pack("{s:o, s:i}", "value", value_to_json(node), "line",
					  (int)node.source().begin.line);
		json_object_set_new(out, path.c_str(), entry);
	}
}

extern "C" json_t *toml_parse(const char *text, int *line, char *message, size_t len)
{
	toml::parse_result result = toml::parse(std::string_view(text));

	if (!result) {
		*line = (int)result.error().source().begin.line;
		snprintf(message, len, "%s", std::string(result.error().description()).c_str());
		return nullptr;
	}
	json_t *out = json_object();
	flatten(result.table(), "", out);
	return out;
}
