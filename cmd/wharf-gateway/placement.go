package main

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/wisteriawharf/wisteriawharf/placement"
)

// registerPlacement adds the query where a request would go. It is for operators, next to the metrics.
func (s *service) registerPlacement(e *echo.Echo) {
	e.GET(placement.Path, func(c echo.Context) error {
		q := placement.Query{Host: c.QueryParam(placement.ParamHost), Path: c.QueryParam(placement.ParamPath), Account: c.QueryParam(placement.ParamAccount)}
		if size := c.QueryParam(placement.ParamSize); size != "" {
			var err error
			if q.Size, err = strconv.Atoi(size); err != nil || q.Size < 0 {
				return c.String(http.StatusBadRequest, "malformed size")
			}
		}
		if q.Host == "" || q.Path == "" {
			return c.String(http.StatusBadRequest, "host or path is missing")
		}
		answer := s.gateway.Explain(q)
		answer.Instance = s.self.Name
		return c.JSON(http.StatusOK, answer)
	})
}
